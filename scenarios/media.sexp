; Both protocols at once, half of the viewers players over HTTP: fronts restarted and standing still, a rolling deploy, a
; crash, a drain, weak uplinks, a frozen box, answers lost, late and reset, viewers that withdraw, a crowd.
(scenario "both protocols"
  (settings "front-media.sexp") (must-try 1 2 3 4 5 6) (seed 20261213) (length 14s)
  (fronts 3) (boxes 12) (titles 16) (copies 4) (list-lag 200ms) (set-up 3ms) (reap 2s)
  (viewers (rate 50) (watch 1s 4s) (returns 0.9) (return-after 200ms 700ms) (small 0.25) (zipf 0.8) (mix 0.35 0.15 0.35 0.15))
  (trouble front-restart (at 2s) (front 0) (down 400ms))
  (trouble front-stall (at 5s) (length 1500ms) (front 1))
  (trouble rolling-deploy (at 3s) (length 7s) (part 0.5) (batch 2) (drain 700ms) (down 300ms))
  (trouble drain (at 10s) (length 2s) (box 9))
  (trouble weak-uplink (at 4s) (length 6s) (rack 2) (part 0.5))
  (trouble freeze (at 6s) (length 2s) (box 8))
  (trouble lose-answers (at 3s) (length 5s) (box 7) (part 0.3))
  (trouble late-answers (at 9s) (length 3s) (box 11) (by 500ms))
  (trouble resets (at 10s) (length 2s) (box 12) (part 0.5))
  (trouble box-crash (at 11s) (box 12) (down 500ms))
  (trouble crowd (at 6s) (length 3s) (title 1) (rate 20))
  (trouble withdrawn (at 7s) (length 4s) (part 0.2)))
