; The settings of `micadyke demo`: one front, four boxes in two racks, every box in a cell of its own.
(front (name "demo") (listen "127.0.0.1:8080") (fronts 1) (zone hall) (answer-margin 100ms))
(zones hall)

(ladder
  (rung (rate 190kB/s) (worth 0.2))
  (rung (rate 330kB/s) (worth 0.4))
  (rung (rate 580kB/s) (worth 0.6))
  (rung (rate 1020kB/s) (worth 0.8))
  (rung (rate 1790kB/s) (worth 1)))

(class recorded-play (worth 1) (aim 800ms) (patience 4s) (effect idempotent))
(class publish (worth 1) (aim 800ms) (patience 4s) (effect at-most-once))

(kind box (streams 200))
(fleet (cells 4) (racks 2) (link-per-weight 60MB/s) (uplink 100MB/s) (weights sizes)
  (note-delay 150ms) (note-period 1s) (change-cost 0.8s)
  (cold (warm-after 12s) (from 0.4) (fall-multiple 2.5) (fall-window 2s)))
(attempts (most 3))
(come-back (most 10s))

(route "/whep/" (kind whep) (class recorded-play))
(route "/whip/" (kind whip) (class publish))
(route "/watch/" (kind media) (class recorded-play) (silence 30s))
(title demo (from-cell 0) (cells 4))
