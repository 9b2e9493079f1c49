Feature: The experiment tool tells differences from noise

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                             |
      | a difference that is there is told                   |
      | a difference that is not there is not told           |
      | two that differ by less than counts are equal        |
      | where noise hides it the plays needed are told       |
      | few pairs tell nothing                               |
      | a page names broken rules first and pairs by site    |
      | a broken-off experiment goes on where it was         |
      | mistakes in a plan are named                         |
      | every variant gets the same days and seeds, mixed up |
