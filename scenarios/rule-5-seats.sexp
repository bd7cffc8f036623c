; One spot that everybody wants, and twelve seats a front. A front that does not count them breaks rule 5.
(scenario "rule 5: seats"
  (settings "front.sexp") (must-try 5) (seed 17) (length 4s) (fronts 1) (boxes 6) (titles 1) (copies 6)
  (viewers (rate 30) (watch 1500ms 2s) (mix 0 1)))
