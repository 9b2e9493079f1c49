# Guards against requests to draining workers after the store is restored from a backup,
# which decreases its revisions.
Feature: The store is restored from a backup

  Background:
    Given a platform store with a configuration and 0 workers
    And 12 workers, 6 gateways and 90 requests a second spread over all of them
    And an unrelated key that is written 12 times a second

  Scenario: Workers drain after the store is restored
    When the store is restored from a backup 4 s old, then 2 workers drain
    Then no request reaches a draining worker more than 2.5 s after the store acknowledged its draining

  Scenario: Gateways reconnect after the restored store has passed its previous revision
    When the store is restored from a backup 4 s old, and 2 workers drain before gateways reach it at a higher revision than before
    Then no request reaches a draining worker more than 2.5 s after the store acknowledged its draining

  Scenario: Gateways are frozen in turn while the store is restored
    When the store is restored from a backup 4 s old while gateways are frozen in turn, then 2 workers drain
    Then no request reaches a draining worker more than 2.5 s after the store acknowledged its draining

  Scenario: The backup was made before workers drained
    When 2 workers drain, then the store is restored from a backup 4 s old and the lost values are written again 3 s later
    Then no request reaches a draining worker more than 2.5 s after the store acknowledged its draining

  Scenario: The backup was made before workers left without draining
    When the entries of 2 workers are removed, then the store is restored from a backup 4 s old and the restored entries expire 4.5 s later
    Then no request reaches a draining worker more than 2.5 s after the store acknowledged its draining

  # Guards against losing withheld upstreams or the order of lists when the gateways that
  # know them are replaced.
  Scenario: Readers of the store are killed while it is restored
    When 2 workers drain and readers are killed while the store is restored from a backup 4 s old, then 2 more workers drain
    Then no request reaches a draining worker more than 2.5 s after the store acknowledged its draining
