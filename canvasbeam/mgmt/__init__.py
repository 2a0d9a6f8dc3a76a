"""The second address: health, figures and workers out by hand, for the operators' staff and their tools."""
