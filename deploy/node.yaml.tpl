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
stop_grace_s: {{bounds.graceS}}
retries:
  ratio: {{bounds.retryBudgetRatio}}
  slack: {{bounds.budgetSlack}}
  window_s: {{bounds.retryWindowS}}
cold:
  bound_ratio: {{bounds.coldOver}}
  bound_slack: {{bounds.coldSlack}}
rates:
  slack: {{bounds.quotaSlack}}
{{#bounds.quotaOver}}
  overrun: {{bounds.quotaOver}}
{{/bounds.quotaOver}}
{{#bounds.quotaWindowS}}
  window_s: {{bounds.quotaWindowS}}
{{/bounds.quotaWindowS}}
{{#bounds.revokeMs}}
revocation:
  strict: {{bounds.strictRevocation}}
  bound_ms: {{bounds.revokeMs}}
{{/bounds.revokeMs}}
