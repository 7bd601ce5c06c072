; Settings of oatloom-state. Every field may be left out; the values here are the defaults.
((rps . 0.0)            ; requests a second, lease renewals and opened watches included; 0: no limit
 (write-rps . 0.0)      ; puts and deletes a second; 0: no limit
 (value-kb . 16.0)      ; largest value, KiB, above 0 and at most 60
 (txn-ops . 20)         ; most puts and deletes in a transaction, 1 to 1000
 (snapshot-mb . 64.0)   ; megabytes of log after which a snapshot is taken, 0.01 to 100000
 (slice-rows . 1024)    ; rows handed to a snapshot at once, 1 to 1000000
 (connections . 1000)   ; connections served at once, 1 to 100000
 (sync . #t))           ; #f: answer changes before they are on the disk; the last ones may be lost
