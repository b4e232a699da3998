/** Renders the operators' page of the daemon's settings from their schema. */

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

/** Returns the page as Markdown: the introduction, then a row for each setting. */
export function renderSettingsPage(schema, introduction) {
  return `${introduction}${listRows(schema, '').join('\n')}\n`;
}
