; Six seats of the one spot that everybody wants, three fronts as processes. They are stopped for less than the lease's
; time, just over it and for long, and let go; their ways to boxes go half-open; a box and the issuer are stopped too.
; Stopped fronts keep their sockets open, so that boxes see nothing: a front that tells boxes no end breaks rule 5.
(scenario "stopped fronts"
  (settings "front-stopped.sexp") (must-try 1 5) (processes yes) (seed 41) (length 16s)
  (fronts 3) (boxes 4) (titles 1) (copies 4) (list-lag 200ms) (set-up 2ms) (reap 500ms)
  (issuer (seats 6) (ttl 2s))
  (viewers (rate 24) (watch 3s 9s) (returns 0.9) (return-after 200ms 700ms) (zipf 2) (mix 0 1))
  (trouble front-stall (at 2s) (length 1200ms) (front 0))
  (trouble front-stall (at 4s) (length 2500ms) (front 1))
  (trouble half-open (at 5s) (length 4s) (front 2) (box 1))
  (trouble half-open (at 5s) (length 4s) (front 2) (box 2))
  (trouble front-stall (at 7500ms) (length 5s) (front 0))
  (trouble freeze (at 8s) (length 3s) (box 3))
  (trouble issuer-stall (at 12500ms) (length 800ms))
  (trouble front-stall (at 13s) (length 2500ms) (front 2))
  (trouble front-restart (at 14s) (front 1) (down 200ms)))
