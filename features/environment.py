from features import world


def before_scenario(context, scenario):
    context.world = world.World()


def after_scenario(context, scenario):
    context.world.close()
