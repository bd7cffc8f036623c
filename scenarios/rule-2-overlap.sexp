; Answers of two boxes are lost: attempts time out and go elsewhere. A front that does not close them first breaks rule 2.
(scenario "rule 2: overlap"
  (settings "front.sexp") (must-try 2) (seed 12) (length 3s) (fronts 2) (boxes 4) (titles 4) (copies 4)
  (viewers (rate 25) (watch 1s 2s))
  (trouble lose-answers (at 0s) (length 4s) (box 1) (part 1))
  (trouble lose-answers (at 0s) (length 4s) (box 2) (part 1)))
