; Sponsor spots never play on the lowest rung, full links or not. A front that sets it breaks rule 5.
(scenario "rule 5: floors"
  (settings "front.sexp") (must-try 5) (seed 16) (length 3s) (fronts 2) (boxes 4) (titles 4) (copies 4)
  (viewers (rate 30) (watch 1s 2s) (mix 0 1))
  (trouble weak-link (at 1s) (length 2s) (box 1) (part 0.2)))
