"""Limits per tenant, retry budgets and refusals."""
