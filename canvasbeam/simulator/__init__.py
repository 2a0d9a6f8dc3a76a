"""The laboratory: an emulated world, two engines that play it, a load tool, experiments and reports."""
