; Players over HTTP alone, and three of five boxes that reset connections: further attempts are wanted for most. A front without the budget breaks rule 6.
(scenario "budget of players over HTTP"
  (settings "front-media.sexp") (must-try 6) (seed 18) (length 4s) (fronts 2) (boxes 5) (titles 4) (copies 5)
  (viewers (rate 50) (watch 500ms 1s) (mix 0 0 1))
  (trouble resets (at 0s) (length 5s) (box 1) (part 1))
  (trouble resets (at 0s) (length 5s) (box 2) (part 1))
  (trouble resets (at 0s) (length 5s) (box 3) (part 1)))
