; Ten seats for the one spot that everybody wants, three fronts, an issuer that loses messages and answers, doubles and
; reorders them, is down for a while and comes back, once without its books; fronts are killed, stopped and stand still.
(scenario "seats across fronts"
  (settings "front-seats.sexp") (must-try 1 5) (seed 31) (length 14s)
  (fronts 3) (boxes 6) (titles 2) (copies 6) (list-lag 200ms) (set-up 2ms) (reap 1s)
  (issuer (seats 10) (ttl 4s))
  (viewers (rate 30) (watch 500ms 2s) (returns 0.9) (return-after 200ms 700ms) (zipf 2) (mix 0.2 0.8))
  (trouble issuer-lossy (at 1s) (length 4s) (part 0.25) (by 60ms))
  (trouble front-restart (at 2s) (front 0) (down 300ms))
  (trouble front-stall (at 3s) (length 1500ms) (front 1))
  (trouble issuer-down (at 5s) (length 1s) (books kept))
  (trouble front-restart (at 6500ms) (front 2) (down 200ms))
  (trouble issuer-down (at 7500ms) (length 500ms) (books lost))
  (trouble front-stop (at 9s) (front 0) (down 300ms))
  (trouble issuer-lossy (at 9s) (length 4s) (part 0.4) (by 100ms))
  (trouble freeze (at 10s) (length 1s) (box 3)))
