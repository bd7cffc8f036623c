; A box is listed as draining for a while, twice, and news lags. A front that goes on sending breaks rule 3.
(scenario "rule 3: drains"
  (settings "front.sexp") (must-try 3) (seed 14) (length 4s) (fronts 2) (boxes 4) (titles 4) (copies 4)
  (viewers (rate 40) (watch 1s 2s))
  (trouble drain (at 500ms) (length 1500ms) (box 1))
  (trouble drain (at 1s) (length 2s) (box 2))
  (trouble list-behind (at 1s) (length 1s) (by 300ms)))
