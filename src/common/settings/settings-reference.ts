/** Generates the operators' settings reference from the schema, so that the page and the program cannot differ. */
import {z} from 'zod';

const nodeSchema = z.looseObject({
	type: z.string().optional(),
	description: z.string().optional(),
	default: z.unknown().optional(),
	enum: z.array(z.unknown()).optional(),
	minimum: z.number().optional(),
	maximum: z.number().optional(),
	required: z.array(z.string()).default([]),
	properties: z.record(z.string(), z.unknown()).optional(),
});
type Node = z.infer<typeof nodeSchema>;

/** Returns the lines of one Markdown table for each table of the settings file: key, allowed values, default, meaning. */
export function settingsReference(schema: z.ZodType): string[] {
	const root = nodeSchema.parse(z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}));
	return sectionLines('', root);
}

function sectionLines(path: string, table: Node): string[] {
	const entries = Object.entries(table.properties ?? {}).map(([key, value]) => [key, nodeSchema.parse(value)] as const);
	const rows = entries.filter(([, node]) => node.properties === undefined).map(([key, node]) => row(key, node, table.required.includes(key)));
	const sections = entries.flatMap(([key, node]) => node.properties === undefined ? [] : sectionLines(path === '' ? key : `${path}.${key}`, node));
	return rows.length === 0 ? sections : [`## [${path}]`, '', '| key | allowed | default | meaning |', '|---|---|---|---|', ...rows, '', ...sections];
}

function row(key: string, node: Node, isRequired: boolean): string {
	const fallback = isRequired ? 'needed' : (node.default === undefined ? '' : `\`${JSON.stringify(node.default)}\``);
	return `| \`${key}\` | ${allowed(node)} | ${fallback} | ${node.description ?? ''} |`;
}

function allowed(node: Node): string {
	if (node.enum !== undefined) {
		return node.enum.map(value => `\`${String(value)}\``).join(', ');
	}

	if (node.type === 'integer') {
		return `${node.minimum} to ${node.maximum}`;
	}

	const names: Readonly<Record<string, string>> = {boolean: 'true, false', array: 'list of texts'};
	return names[node.type ?? ''] ?? 'text';
}
