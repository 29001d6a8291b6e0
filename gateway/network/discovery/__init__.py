"""Discovery: the calls that fetch endpoint lists, and the watch that repeats them."""
