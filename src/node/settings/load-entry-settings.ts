/** Reads the settings of a store-led entry VM from a TOML file; tells every fault at once. */
import {type Result} from 'neverthrow';
import {type EntrySettings, entrySettingsSchema} from '../../common/settings/entry-settings.ts';
import {checkAgainst, readToml, type SettingsFailure} from './load-settings.ts';

export function loadEntrySettings(path: string): Result<EntrySettings, SettingsFailure[]> {
	return readToml(path).andThen(input => checkAgainst(entrySettingsSchema, input));
}
