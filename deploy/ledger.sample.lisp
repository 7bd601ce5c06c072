; Operators' settings with an account of usage (docs/usage.md).
((ledger . #t))
