Feature: Requests run at most once and answers are true

  Scenario: answers of the primary are lost after the request ran
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 5 s at 50 percent of the rates
    And 1500 ms pass
    And the primary of stock loses-answers
    And 200 ms pass
    And the first primary of stock is well again
    Then the load ends
    And no promise is broken

  Scenario: connections to endpoints are reset and frozen
    Given the lentes deployment with 3 VMs
    And the fleet runs behind fault-injecting proxies
    When load runs for 6 s at 50 percent of the rates
    And 1000 ms pass
    And link stock-1 is reset
    And 500 ms pass
    And link requests-1 is reset
    And 500 ms pass
    And link stock-2 is frozen
    And 1000 ms pass
    And link stock-2 works again
    Then the load ends
    And no promise is broken

  Scenario: VMs die under load
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 6 s at 50 percent of the rates
    And 1500 ms pass
    And VM vm-1 is killed
    And 2000 ms pass
    And VM vm-1 starts again
    Then the load ends
    And no promise is broken

  Scenario: sessions read their writes although replicas lag far behind
    Given the lentes deployment with 3 VMs
    And replicas follow 150 ms late
    And the fleet runs
    When load runs for 5 s at 40 percent of the rates
    Then the load ends
    And no promise is broken

  Scenario: a planned stop cuts no request
    Given the lentes deployment with 3 VMs
    And endpoints take 250 ms for a request
    And the setting shutdown.announce-delay is 150ms
    And the fleet runs
    When load runs for 5 s at 8 percent of the rates
    And 1500 ms pass
    And VM vm-2 is terminated
    Then the load ends
    And its exit code is 0
    And no promise is broken
    And no request was refused or lost but for allowances

  Scenario: all VMs are restarted in turn
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 18 s at 20 percent of the rates
    And 1000 ms pass
    And every VM is restarted in turn
    Then the load ends
    And no promise is broken
    And no request was refused or lost but for allowances

  Scenario: the Association's deployment under load
    Given the association deployment with 4 VMs
    And the fleet runs
    When load runs for 5 s at 50 percent of the rates
    Then the load ends
    And no promise is broken
    And no request was refused or lost but for allowances
