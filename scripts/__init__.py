"""Commands that run the tools in fleet."""
