import faulthandler

from features import world

# A scenario that runs longer ends the whole run with a dump of all stacks.
SCENARIO_LIMIT_S = 90


def before_scenario(context, scenario):
    faulthandler.dump_traceback_later(SCENARIO_LIMIT_S, exit=True)
    context.world = world.World()


def after_scenario(context, scenario):
    context.world.close()
    faulthandler.cancel_dump_traceback_later()
