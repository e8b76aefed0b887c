"""Load generator that checks every answer, with reports and plots."""
