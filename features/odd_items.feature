Feature: Items of the store that can't be read

  # Guards against gateways that followed nothing any more after one such item.
  Scenario Outline: A deeply nested item under "<key>" is set aside alone
    Given a platform store with a configuration and 3 workers
    And 3 gateways
    When the store holds a deeply nested item under "<key>"
    And the operator adds a route and a worker leaves
    Then the new route is served and the worker gets no requests

    Examples:
      | key                   |
      | gateways/z1           |
      | op/rollout/core       |
      | status/rollout/core   |
      | quarantine/00ff       |
      | servers/i-9           |
      | op/config             |

  # Guards against a store that is not read any more after one error.
  Scenario: An error while changes are applied is followed by a full read
    Then the property "an error while changes are applied leads to a full read" holds

  Scenario: What is read can't be applied
    Then the property "a gateway that can't apply what it reads is no reader" holds
