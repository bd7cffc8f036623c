; Three of five boxes reset connections: further attempts are wanted for most. A front without the budget breaks rule 6.
(scenario "rule 6: budget"
  (settings "front.sexp") (must-try 6) (seed 18) (length 4s) (fronts 2) (boxes 5) (titles 4) (copies 5)
  (viewers (rate 50) (watch 500ms 1s))
  (trouble resets (at 0s) (length 5s) (box 1) (part 1))
  (trouble resets (at 0s) (length 5s) (box 2) (part 1))
  (trouble resets (at 0s) (length 5s) (box 3) (part 1)))
