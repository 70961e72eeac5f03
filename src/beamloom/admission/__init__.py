"""Limits per tenant, retry budgets, deadlines and refusals."""
