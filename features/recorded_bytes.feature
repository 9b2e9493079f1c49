Feature: What was recorded is read and written as it was

  Bytes of the code of 31fa0e6, in features/recorded. They never change; where
  names do, the samples in features/support/recorded_*.py follow.

  Scenario Outline: <kind> are as they were recorded
    Then everything recorded of <kind> is read and written to the byte

    Examples:
      | kind                      |
      | peer messages             |
      | signed bundles            |
      | records in the store      |
      | settings                  |
      | answers and the host list |
      | names                     |

  Scenario: The samples tell all there is to tell
    Then every recorded file belongs to a sample
    And every field of every sample differs from its default
    And every member of every enumeration is in some sample

  Scenario: Unknown fields are handled as they were
    Then unknown fields in what was recorded are passed over
    And unknown fields in a bundle are refused
    And unknown names in a gateway's settings file are refused
