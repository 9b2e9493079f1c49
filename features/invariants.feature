Feature: What must always hold, under any mix of faults
  Virtual time, the product's own code on fake ports; see features/support/machine.py.

  Scenario: Any fault at any moment, together or twice
    Then the mixed-fault machine holds over 100 plays of 40 steps
