Feature: Upstreams that start again, and entries from other writers

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples: Entries from other writers
      | property |
      | an entry of another writer takes its upstream out of use |
      | numbers out of bounds in an entry are read as bounds |
      | an entry of another writer has no grace after an outage |
      | a good entry after one of another writer is used again |
      | peers drop an upstream whose entry another writer made |
      | entries of another writer are told once, and of few lines |
      | an item that is none spoils no other of its page |
      | a service that is not configured yet is used once it is |
