vm_name: "{{node}}"
region: "{{region}}"
failure_domain: "{{zone}}"
service: "{{service}}"
listen:
  link: "{{ip}}:{{internalPorts.0}}"
  callers: "{{listen.outbound}}"
  readiness: "{{listen.readiness}}"
  control: "{{listen.control}}"
  metrics: "{{ip}}:{{internalPorts.1}}"
platform: "{{platform.address}}"
{{#bounds.graceS}}
stop_grace_s: {{bounds.graceS}}
{{/bounds.graceS}}
retries: {
{{#bounds.retryBudgetRatio}}
  ratio: {{bounds.retryBudgetRatio}},
{{/bounds.retryBudgetRatio}}
{{#bounds.budgetSlack}}
  slack: {{bounds.budgetSlack}},
{{/bounds.budgetSlack}}
{{#bounds.retryWindowS}}
  window_s: {{bounds.retryWindowS}},
{{/bounds.retryWindowS}}
}
cold: {
{{#bounds.coldOver}}
  bound_ratio: {{bounds.coldOver}},
{{/bounds.coldOver}}
{{#bounds.coldSlack}}
  bound_slack: {{bounds.coldSlack}},
{{/bounds.coldSlack}}
}
rates: {
{{#bounds.quotaSlack}}
  slack: {{bounds.quotaSlack}},
{{/bounds.quotaSlack}}
{{#bounds.quotaOver}}
  overrun: {{bounds.quotaOver}},
{{/bounds.quotaOver}}
{{#bounds.quotaWindowS}}
  window_s: {{bounds.quotaWindowS}},
{{/bounds.quotaWindowS}}
}
revocation: {
{{#bounds.strictRevocation}}
  strict: true,
{{/bounds.strictRevocation}}
{{#bounds.revokeMs}}
  bound_ms: {{bounds.revokeMs}},
{{/bounds.revokeMs}}
}
resources: {
{{#limits.memoryMb}}
  memory_mb: {{limits.memoryMb}},
{{/limits.memoryMb}}
{{#limits.maxFds}}
  descriptors: {{limits.maxFds}},
{{/limits.maxFds}}
}
rollouts: {
{{#bounds.rollbackMs}}
  enabled: true,
  rollback_ms: {{bounds.rollbackMs}},
{{/bounds.rollbackMs}}
{{#bounds.exposeShare}}
  expose_share: {{bounds.exposeShare}},
{{/bounds.exposeShare}}
{{#bounds.exposeSlack}}
  expose_slack: {{bounds.exposeSlack}},
{{/bounds.exposeSlack}}
}
{{^bounds.coldOver}}
placement: { cost_aware: true }
{{/bounds.coldOver}}
