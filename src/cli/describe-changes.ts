/** Changes of resources as one short text. */
import {type ChangeRecord} from '../node/api/types.ts';

/** The first keys with what became of them, and how many more there are; `--format json` tells all. */
export function formatChanges(record: ChangeRecord, maxListed: number): string {
	const {changes} = record;
	const listed = changes.slice(0, maxListed).map(({action, key}) => `${action} ${key}`).join(', ');
	return changes.length > maxListed ? `${listed} and ${changes.length - maxListed} more` : listed;
}
