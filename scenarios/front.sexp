; Settings of the fronts in the rehearsals. Times are short, so that a day fits into half a minute.
(front (name "front") (listen "127.0.0.1:0") (answer-margin 100ms) (boxes "boxes.sexp"))
(zones north south)

(ladder
  (rung (rate 190kB/s) (worth 0.2))
  (rung (rate 330kB/s) (worth 0.4))
  (rung (rate 580kB/s) (worth 0.6))
  (rung (rate 1020kB/s) (worth 0.8))
  (rung (rate 1790kB/s) (worth 1)))

(class recorded-play (worth 1) (aim 800ms) (patience 3s) (effect idempotent))
(class paid-spot (worth 2) (aim 800ms) (patience 3s) (effect at-most-once) (scale 1.4) (floor 1) (seats 12))
(class publish (worth 1) (aim 800ms) (patience 3s) (effect at-most-once))

(kind box (streams 40))
(fleet (cells 12) (racks 4) (link-per-weight 20MB/s) (uplink 60MB/s) (weights sizes)
  (note-delay 120ms) (note-period 500ms) (change-cost 0.3s) (cross-price 0.02)
  (cold (warm-after 4s) (from 0.4) (fall-multiple 2.5) (fall-window 1s)))
(attempts (most 3) (budget (spare 6) (share 20%) (window 4s)))
(come-back (most 2s))

(route "/whep/" (kind whep) (class recorded-play))
(route "/spot/" (kind whep) (class paid-spot) (bearer "spot-token"))
(route "/whip/" (kind whip) (class publish))
