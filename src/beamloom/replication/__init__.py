"""How nodes share configuration within one control-traffic budget."""
