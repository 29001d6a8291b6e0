"""The client side of discovery: fetching the endpoint list and watching it for changes."""
