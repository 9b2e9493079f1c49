Feature: Upstreams that start again, and entries from other writers

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples: Upstreams that start again
      | property                                                    |
      | an upstream that starts again begins with nothing known     |
      | what ran on an earlier start is judged by that alone        |
      | a call sent to an earlier start goes to no later one        |
      | that an earlier start leaves takes no later one out of use  |
      | an earlier start of an upstream never comes back            |
      | a reading knows whether a peer's list overtook it           |
      | an upstream that tells its start, or ceases to, is another  |
      | a peer that leaves out starts makes no upstream another     |
      | one that drained or vanished is used again when it is ready |
      | an upstream that starts again is cold                       |
      | one that starts again in an evacuated zone is not used      |
      | what peers report of another start is not taken in          |
      | probes of an earlier start end with it                      |
      | connections kept to an upstream that is gone are closed     |

    Examples: Entries from other writers
      | property                                                    |
      | an entry of another writer takes its upstream out of use    |
      | numbers out of bounds in an entry are read as bounds        |
      | an entry of another writer has no grace after an outage     |
      | a good entry after one of another writer is used again      |
      | peers drop an upstream whose entry another writer made      |
      | entries of another writer are told once, and of few lines   |
      | an item that is none spoils no other of its page            |
      | a service that is not configured yet is used once it is     |
