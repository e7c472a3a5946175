"""Run the demo, the load tool and the measured comparisons."""
