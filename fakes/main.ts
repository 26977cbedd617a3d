/** Runs one stand-in as a separate process. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { FakeInstanceList, FakeModelEngine, FakeObjectStore, FakePlainService } from './index.js';

const argv = await yargs(hideBin(process.argv))
  .scriptName('fake')
  .option('kind', {
    choices: ['objects', 'instances', 'engine', 'service'] as const,
    demandOption: true,
  })
  .option('host', { type: 'string', default: '127.0.0.1' })
  .option('port', { type: 'number', demandOption: true })
  .option('first-token-ms', { type: 'number', default: 60 })
  .option('token-ms', { type: 'number', default: 15 })
  .option('lag-ms', { type: 'number', default: 500 })
  .option('writes-per-second', { type: 'number', default: 400 })
  .option('reads-per-second', { type: 'number', default: 2_000 })
  .strict()
  .parse();

const { host, port } = argv;

async function start(): Promise<{ stop: () => Promise<void> }> {
  const { firstTokenMs, tokenMs, lagMs, writesPerSecond, readsPerSecond } = argv;
  switch (argv.kind) {
    case 'objects':
      return FakeObjectStore.start({ host, port, writesPerSecond, readsPerSecond });
    case 'instances':
      return FakeInstanceList.start({ host, port, lagMs });
    case 'engine':
      return FakeModelEngine.start({ host, port, firstTokenMs, tokenMs });
    default:
      return FakePlainService.start({ host, port });
  }
}

const fake = await start();
process.once('SIGTERM', () => {
  void fake.stop();
});
