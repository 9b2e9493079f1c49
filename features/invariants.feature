Feature: What must always hold, under any mix of faults
  Virtual time, the product's own code on fake ports; see features/support/machine.py.

  Scenario: Any fault at any moment, together or twice
    Then the "mixed-fault" machine holds over 150 plays of 40 steps

  Scenario: Requests that may not be repeated, resent everywhere
    Then the "id" machine holds over 150 plays of 40 steps

  Scenario: The right to probe changes hands
    Then the "measuring" machine holds over 60 plays of 30 steps
