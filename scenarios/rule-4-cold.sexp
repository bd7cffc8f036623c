; Two of three boxes crash and come back cold while many come. A front that takes them for warm breaks rule 4.
(scenario "rule 4: cold"
  (settings "front.sexp") (must-try 4) (seed 15) (length 4s) (fronts 3) (boxes 3) (titles 3) (copies 3)
  (viewers (rate 120) (watch 300ms 600ms))
  (trouble box-crash (at 500ms) (box 1) (down 300ms))
  (trouble box-crash (at 600ms) (box 2) (down 400ms)))
