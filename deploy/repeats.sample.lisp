; Operators' settings of a region on one machine whose classes are limited (oatloomctl up --operators FILE).
((classes (class (name "quick") (repeats 2) (on-exhausted fail-job))
          (class (name "slow") (repeats 1) (on-exhausted finish-rest))))
