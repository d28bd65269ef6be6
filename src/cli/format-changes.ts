/** Formats changes of resources as one short text. */
import {type ChangeRecord} from '../node/api/types.ts';

/** Lists the first `maxListed` changes by action and key, and counts the others. `--format json` lists all. */
export function formatChanges(record: ChangeRecord, maxListed: number): string {
	const {changes} = record;
	const listed = changes.slice(0, maxListed).map(({action, key}) => `${action} ${key}`).join(', ');
	return changes.length > maxListed ? `${listed} and ${changes.length - maxListed} more` : listed;
}
