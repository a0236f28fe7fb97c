import faulthandler

from features import world

# A scenario that hangs ends the run and shows where it hangs.
SCENARIO_LIMIT_S = 90


def before_scenario(context, scenario):
    faulthandler.dump_traceback_later(SCENARIO_LIMIT_S, exit=True)
    context.world = world.World()


def after_scenario(context, scenario):
    context.world.close()
    faulthandler.cancel_dump_traceback_later()
