; A region on one machine (oatloomctl up). Every field may be left out; the values here are the defaults.
((port . 18080)        ; of the first controller; the next two follow; the region's own is ten further; 0: any
 (machines . 4)        ; machines of one kind that each of the three zones has, 1 to 100
 (cpus . 32.0)         ; of a whole machine; half machines are there too
 (gpus . 4.0)
 (memory-gb . 128.0)
 (boot-s . 2.0)        ; usual time until a machine is up
 (report-s . 1.0)      ; period of workers' reports
 (lease-s . 10.0)      ; a worker without an answer for so long ends its tasks
 (cancel-s . 20.0)     ; by then a cancelled job is gone from all machines; above lease-s and two reports
 (gang-wait-s . 12.0)
 (gang-peer-s . 2.0)
 (list-lag-s . 1.0)    ; how old the cloud's list is
 (finish-s . 12.0)     ; users want jobs of class quick done in so long, those of slow in twice that
 (state-rps . 400.0)   ; requests a second that the state service takes
 (write-rps . 100.0)   ; puts and deletes a second
 (teams . ("red" "blue"))
 (gpus-max . 14.0))    ; most GPUs that the first team may use at once; 0: no limit
