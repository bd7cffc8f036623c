; Settings of replays: both protocols for two classes, and nothing that counts by the clock.
(front (name "front") (listen "127.0.0.1:0") (answer-margin 100ms) (boxes "boxes.sexp"))
(zones north south)

(ladder
  (rung (rate 190kB/s) (worth 0.2))
  (rung (rate 330kB/s) (worth 0.4))
  (rung (rate 580kB/s) (worth 0.6))
  (rung (rate 1020kB/s) (worth 0.8))
  (rung (rate 1790kB/s) (worth 1)))

(class recorded-play (worth 1) (aim 800ms) (patience 3s) (effect idempotent))
(class paid-spot (worth 2) (aim 800ms) (patience 3s) (effect at-most-once) (floor 1) )

(kind box (streams 40))
(fleet (cells 12) (racks 4) (link-per-weight 20MB/s) (uplink 60MB/s) (weights sizes)
  (note-delay 120ms) (note-period 500ms) (change-cost 0.3s) (cross-price 0.02))
(attempts (most 3))
(come-back (most 2s))

(route "/whep/" (kind whep) (class recorded-play))
(route "/spot/" (kind whep) (class paid-spot) (bearer "spot-token"))
(route "/watch/" (kind media) (class recorded-play) (silence 2s))
(route "/show/" (kind media) (class paid-spot) (bearer "spot-token") (silence 2s))
