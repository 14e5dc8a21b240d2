"""Worker choice, retry budget, hedging, fair queue and shedding."""
