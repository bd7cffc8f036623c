; More viewers than the boxes have room for: many are refused. A front that tells nobody breaks rule 1.
(scenario "rule 1: answers"
  (settings "front.sexp") (must-try 1) (seed 11) (length 3s) (fronts 2) (boxes 2) (titles 2) (copies 2)
  (viewers (rate 90) (watch 1500ms 2s) (returns 0)))
