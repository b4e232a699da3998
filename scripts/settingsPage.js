/** Renders the operators' page of the daemon's settings from their schema. */

const HEAD = `# Settings of the daemon

This page is generated from \`schemas/settings.schema.json\` by \`npm run generate\`.

\`lycheelaned --settings FILE\` reads one file of JSON with comments. A faulty file ends the daemon with exit code 2 and a list of all faults with line and column. An example:

\`\`\`jsonc
{
  "nodeId": "pads-17",
  "dataCentre": "bavaria-south-a",
  "region": "bavaria-south",
  "host": "10.1.0.17",
  "callPort": 7100,
  "peerPort": 7200,
  "announcePort": 7300,
  "operatorPort": 7400,
  "platformUrl": "http://10.0.0.5:8000",
  "seeds": [{ "host": "10.1.0.3", "port": 7200 }], // any nodes that are likely to be up
}
\`\`\`

The operator port listens on loopback. On any other address \`operatorToken\` is required, and requests carry it as a bearer token. The call port and the peer port belong on the operators' private network: nodes trust each other.

Exit codes of the daemon: 0 after a graceful stop, 1 when the start failed (a port is taken, for example), 2 for faulty settings, 3 when the stop limit passed and calls were cut, 4 when a second signal stopped it at once.

| setting | values | default | meaning |
| --- | --- | --- | --- |
`;

function formatValues(schema) {
  if (schema.enum) return schema.enum.map((value) => `\`${value}\``).join(', ');
  if (schema.type === 'integer') return `${schema.minimum} to ${schema.maximum}`;
  return schema.type === 'array' ? `list, at most ${schema.maxItems}` : schema.type;
}

function formatDefault(schema, isRequired) {
  if (isRequired) return 'required';
  return schema.default === undefined ? 'none' : `\`${JSON.stringify(schema.default)}\``;
}

function listRows(schema, prefix) {
  const rows = [];
  for (const [key, value] of Object.entries(schema.properties)) {
    const name = `${prefix}${key}`;
    if (value.type === 'object') {
      rows.push(...listRows(value, `${name}.`));
    } else {
      const standard = formatDefault(value, (schema.required ?? []).includes(key));
      const meaning = value.description ?? '';
      rows.push(`| \`${name}\` | ${formatValues(value)} | ${standard} | ${meaning} |`);
    }
  }
  return rows;
}

/** Returns the page as Markdown. */
export function renderSettingsPage(schema) {
  return `${HEAD}${listRows(schema, '').join('\n')}\n`;
}
