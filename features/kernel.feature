Feature: Properties of the decision code, by hypothesis

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                          |
      | own slots of all entries add up to all slots      |
      | zone weights move without a jump                  |
      | a spaced budget holds in every window             |
      | extra sends stay within their share               |
      | a rate holds in every span, early uses wait       |
      | a higher class never waits behind a lower one     |
      | what a draining upstream turned away moves beside the budget |
      | a try that reached nobody leaves a call its tries |
      | nobody unfit is chosen                            |
      | a decision follows from state, time and seed      |
      | an older document never replaces a newer one      |
      | what is explained is what was done                |
      | hostile peer bytes are refused and bounded        |
      | peer keys can be rotated                          |

  Scenario: Every mistake in a bundle is reported at once
    Then a bundle with 12 mistakes gets 12 reports with their paths

  Scenario: Waiting calls that cannot make it are refused before their deadline
    Then a call that falls hopelessly behind is refused at once

  Scenario: A zone that has lost most of its upstreams does not shrink the others
    Then ejecting nearly all of one zone leaves the others' own slots as they are
