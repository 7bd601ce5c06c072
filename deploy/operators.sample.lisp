; Operators' own settings. Every field may be left out; the values here are the defaults.
((log-level . "info")      ; error, warn, info, debug or trace; LOG_LEVEL goes before it
 (tick-ms . 500)           ; period of the control loop, 100 to 60000 ms
 (beta . 0.9)              ; factor of the multiplicative decrease, above 0 and below 1
 (max-cores . 0.0)         ; most cores rented at once (Nmax); 0: what the cloud gives
 (silent-reports . 3.5)    ; missed report periods after which a machine is returned, 2 to 1000
 (idle-keep-ms . 10000)    ; how long an idle machine is kept, ms
 (classes . ())            ; how often tasks of each class may fail: docs/repeats.md
 (ledger . #f)             ; whether an account of usage is kept: docs/usage.md
 (ledger-every-ms . 30000) ; how often what ended is added to its sums, 500 to 3600000 ms
 (graphs . #f)             ; whether task graphs are served: docs/graphs.md
 (graph-limits . ()))      ; how much of them is taken on: docs/graphs.md
