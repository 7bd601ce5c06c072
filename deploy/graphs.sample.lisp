; Operators' settings of a region that serves task graphs (oatloomctl up --operators FILE).
((graphs . #t)
 (graph-limits . ((sessions . 200) (nodes . 50000) (additions-per-s . 10.0)))
 (classes (class (name "quick") (repeats 2)))
 (ledger . #t))
