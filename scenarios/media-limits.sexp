; Players over HTTP alone, more than there are seats for the one spot that most want, and boxes that reset connections
; after set-ups. Fronts that count no seats, keep no floor or set spots up twice are seen here.
(scenario "limits of players over HTTP"
  (settings "front-media.sexp") (must-try 1 2 5) (seed 131) (length 4s) (fronts 2) (boxes 4) (titles 2) (copies 4)
  (viewers (rate 60) (watch 1s 2s) (zipf 2) (mix 0 0 0.5 0.5) (returns 0.9) (return-after 200ms 600ms))
  (trouble resets (at 1s) (length 3s) (box 1) (part 0.9))
  (trouble resets (at 1s) (length 3s) (box 2) (part 0.9))
  (trouble resets (at 1s) (length 3s) (box 3) (part 0.9)))
