import { OperatorClient } from './client.js';
import { formatTable, report } from './output.js';
/** Shows the state of one daemon. */
export const statusCommand = {
    command: 'status',
    describe: 'show the state of a daemon',
    handler: async (argv) => {
        const answer = await new OperatorClient(argv).get('status');
        report(argv, answer, (status) => formatTable([{ ...status }]));
    },
};
//# sourceMappingURL=status.js.map