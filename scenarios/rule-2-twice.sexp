; Boxes reset connections after set-ups that may have run. A front that sets paid spots up again breaks rule 2.
(scenario "rule 2: twice"
  (settings "front.sexp") (must-try 2) (seed 13) (length 3s) (fronts 2) (boxes 4) (titles 4) (copies 4)
  (viewers (rate 25) (watch 1s 2s) (mix 0 1))
  (trouble resets (at 0s) (length 4s) (box 1) (part 0.7))
  (trouble resets (at 0s) (length 4s) (box 2) (part 0.7)))
